/** Where the platform puts the settings of a process. */

const SETTINGS_VARIABLE = "LACEWINGSTREAM_NODE_FILE"

/** The path that the platform names, if this process was started by it. */
export function platformSettingsFile(
  environment: Readonly<Record<string, string | undefined>>,
): string | undefined {
  return environment[SETTINGS_VARIABLE]
}
