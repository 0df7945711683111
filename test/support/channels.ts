/**
 * Channels between instances in memory. Messages take a while, and are lost when the instances are partitioned. While an
 * instance is paused, the messages to it are kept and its own ones are not sent.
 */
import type {Milliseconds} from "../../src/core/clock.js"
import type {VirtualClock} from "../../src/core/virtualclock.js"
import type {AcceptChannel, ChannelListener, ChannelReceiver, RelayChannel} from "../../src/relay/channel.js"

export interface ChannelEnds {
  readonly caller: string
  readonly name: string
}

export interface ChannelNetwork {
  /** `accept` returns how the instance accepts channels at present; undefined while it is down. */
  readonly open: (
    ends: ChannelEnds,
    accept: () => AcceptChannel | undefined,
    term: number,
    listener: ChannelListener,
  ) => RelayChannel
  /** Ends all channels of an instance whose process has ended. */
  readonly endAll: (name: string) => void
  readonly pause: (name: string) => void
  readonly resume: (name: string) => void
}

export function channelNetwork(
  clock: VirtualClock,
  latency: Milliseconds,
  isPartitioned: (one: string, other: string) => boolean,
): ChannelNetwork {
  const paused = new Map<string, (() => void)[]>()
  const channels = new Set<{readonly ends: ChannelEnds; readonly end: () => void}>()

  /** Delivers a message to an instance, after it has been resumed if it is paused. */
  function deliver(from: string, to: string, act: () => void): void {
    if (isPartitioned(from, to)) return
    const sent = (): void => {
      clock.after(latency, () => {
        const kept = paused.get(to)
        if (kept) kept.push(act)
        else act()
      })
    }
    const unsent = paused.get(from)
    if (unsent) unsent.push(sent)
    else sent()
  }

  return {
    open(ends, accept, term, listener) {
      const {caller, name} = ends
      let receiver: ChannelReceiver | undefined
      let isOpen = true
      const close = (reason: string): void => {
        if (!isOpen) return
        isOpen = false
        channels.delete(channel)
        listener.onClosed(reason)
        deliver(caller, name, () => receiver?.onClosed())
      }
      const channel = {ends, end: () => close("connection reset")}
      channels.add(channel)
      deliver(caller, name, () => {
        const acceptChannel = accept()
        if (!acceptChannel) {
          close("connection refused")
          return
        }
        receiver = acceptChannel(term, {
          send: batch => deliver(name, caller, () => isOpen && listener.onBatch(batch)),
          close: () => deliver(name, caller, () => close("closed by the relay")),
        })
      })
      return {
        send: calls => deliver(caller, name, () => receiver?.receive(calls)),
        close: () => close("closed"),
      }
    },
    endAll(name) {
      for (const {ends, end} of [...channels]) if (ends.name === name || ends.caller === name) end()
    },
    pause: name => void paused.set(name, []),
    resume(name) {
      const kept = paused.get(name) ?? []
      paused.delete(name)
      for (const act of kept) act()
    },
  }
}
