/** A client of the scheduler: one connection for each request, and a deadline. */
import {request as httpRequest} from "node:http"
import {parseFields, wait} from "./network.js"
import type {Fields} from "./network.js"
import type {Instance} from "./instances.js"
import type {Recorder} from "./record.js"

export interface Answer {
  /** 0 without an answer. */
  readonly status: number
  readonly body: Fields
}

export interface Client {
  readonly call: (instance: Instance, method: string, path: string, body?: unknown) => Promise<Answer>
  /** Hands a job in, again at the next instance where the answer leaves it open, until it is accepted. */
  readonly submit: (instances: readonly Instance[], path: string, body: unknown) => Promise<boolean>
}

const DEADLINE_MS = 3000
const TRIES = 5
const RETRY_MS = 300

export function createClient(host: string, recorder: Recorder): Client {
  function call(instance: Instance, method: string, path: string, body?: unknown): Promise<Answer> {
    const [address = "", port = ""] = instance.callers.split(":")
    const content = body === undefined ? "" : JSON.stringify(body)
    return new Promise(resolve => {
      const end = (status: number, text: string): void => {
        clearTimeout(timer)
        recorder.note("answer", {instance: instance.name, method, path, status, text: text.slice(0, 200)})
        resolve({status, body: parseFields(text)})
      }
      const request = httpRequest({
        host: address,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          host,
          "content-type": "application/json",
          "content-length": Buffer.byteLength(content),
          "x-lacewingstream-deadline-ms": String(DEADLINE_MS),
        },
      })
      const timer = setTimeout(() => request.destroy(new Error("no answer in time")), DEADLINE_MS)
      request.once("error", error => end(0, error.message))
      request.once("response", response => {
        let text = ""
        response.setEncoding("utf8")
        response.on("data", (chunk: string) => (text += chunk))
        response.once("end", () => end(response.statusCode ?? 0, text))
        response.once("error", error => end(0, error.message))
      })
      request.end(content)
    })
  }

  return {
    call,
    async submit(instances, path, body) {
      for (let attempt = 0; attempt < TRIES; attempt += 1) {
        const instance = instances[attempt % instances.length]
        if (!instance) return false
        const {status} = await call(instance, "POST", path, body)
        if (status >= 200 && status < 300) return true
        await wait(RETRY_MS)
      }
      return false
    },
  }
}
