/** Binds a server to a `host:port` address from the settings. */
import type {Server} from "node:net"

/** Listens on `host:port`, where port 0 selects a free port. Resolves with the address that was bound. */
export function listen(server: Server, address: string): Promise<string> {
  const separator = address.lastIndexOf(":")
  const host = address.slice(0, separator)
  return new Promise((resolve, reject) => {
    server.once("error", reject)
    server.listen(Number(address.slice(separator + 1)), host, () => {
      const bound = server.address()
      const port = typeof bound === "object" && bound !== null ? bound.port : 0
      resolve(`${host}:${port}`)
    })
  })
}
