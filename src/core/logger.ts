/** The part of a structured logger that controllers use. Each line is an object with a message. */
export interface Logger {
  readonly debug: (fields: object, message: string) => void
  readonly info: (fields: object, message: string) => void
  readonly warn: (fields: object, message: string) => void
  readonly error: (fields: object, message: string) => void
}

/** Drops every line. */
export const SILENT: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
}
