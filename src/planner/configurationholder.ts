/**
 * Holds the operator's configuration that is in force in this process, as read from the store. A configuration with a
 * lower version never replaces one with a higher version.
 */
import type {Logger} from "../core/logger.js"
import type {FleetConfiguration} from "../pipelines/model.js"
import type {FleetReader, KeyChange, StoredItem} from "../pipelines/ports.js"

export interface ConfigurationHolder {
  readonly current: () => FleetConfiguration | undefined
  /** The current configuration as its text in the store; empty if there is none. */
  readonly text: () => string
  /** Takes the configuration from its text. */
  readonly apply: (text: string) => void
  /** Takes the configuration from a list of store items. False if the list has none that can be read. */
  readonly onList: (items: readonly StoredItem[]) => boolean
  /**
   * Takes the configuration from changes of store keys, in their order. Returns whether it can be read after the last one;
   * undefined if none concerns it.
   */
  readonly onChanges: (changes: readonly KeyChange[]) => boolean | undefined
}

export function createConfigurationHolder(
  reader: FleetReader,
  log: Logger,
  onChange: () => void,
): ConfigurationHolder {
  let current: FleetConfiguration | undefined
  let currentText = ""

  /** Returns whether the text can be read. */
  function apply(value: string): boolean {
    const next = reader.decodeConfiguration(value)
    if (!next) {
      log.error(
        {event: "configuration-unreadable"},
        "cannot parse the configuration in the store; keeping the current one",
      )
      return false
    }
    if (current && next.version <= current.version) return true
    current = next
    currentText = value
    log.info(
      {event: "configuration", version: next.version, queues: next.queues.length},
      "a new configuration is in force",
    )
    onChange()
    return true
  }

  return {
    current: () => current,
    text: () => currentText,
    apply: text => void apply(text),
    onList(items) {
      const item = items.find(({key}) => key === reader.configurationKey)
      return item !== undefined && apply(item.value)
    },
    onChanges: changes =>
      changes
        .filter(({key}) => key === reader.configurationKey)
        .map(({value}) => value !== undefined && apply(value))
        .at(-1),
  }
}
