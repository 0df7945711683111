/** Bundles the daemon into one file in the way the platform does. */
import {build} from "esbuild"

export async function bundleDaemon(file: string): Promise<void> {
  await build({
    entryPoints: ["src/cli/daemon.ts"],
    bundle: true,
    platform: "node",
    format: "cjs",
    outfile: file,
    logLevel: "silent",
  })
}
