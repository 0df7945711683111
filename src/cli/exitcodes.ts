/** Exit codes of the command line. They are listed in the README. */
export const EXIT = {
  ok: 0,
  /** The system refused: a document with findings, a job that cannot run, a race that was lost. */
  refused: 1,
  /** The command, a settings file or a document is malformed. */
  invalid: 2,
  /** No entry instance could be reached: nothing was done. */
  unreachable: 3,
  /** Whether the call took effect is not known. */
  unknown: 4,
} as const

export type ExitCode = (typeof EXIT)[keyof typeof EXIT]
