/** The structured logger interface that controllers use. Each line has an object of fields and a message. */
export interface Logger {
  readonly debug: (fields: object, message: string) => void
  readonly info: (fields: object, message: string) => void
  readonly warn: (fields: object, message: string) => void
  readonly error: (fields: object, message: string) => void
}

/** Discards every line. */
export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
}
