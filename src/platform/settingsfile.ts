/** Locates the settings file that the platform provides to a process that it starts. */

const SETTINGS_VARIABLE = "LACEWINGSTREAM_NODE_FILE"

/** Returns the path of the settings file, or undefined when the platform did not start this process. */
export function platformSettingsFile(
  environment: Readonly<Record<string, string | undefined>>,
): string | undefined {
  return environment[SETTINGS_VARIABLE]
}
