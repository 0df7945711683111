/** Exit codes of the command line. They are listed in the README. */
export const EXIT = {
  ok: 0,
  /** The system refused the call: a document with findings, a job that cannot run, or a conflicting change. */
  refused: 1,
  /** The command, a settings file or a document is malformed. */
  invalid: 2,
  /** No instance could be reached; nothing was done. */
  unreachable: 3,
  /** It is unknown whether the call took effect. */
  unknown: 4,
} as const

export type ExitCode = (typeof EXIT)[keyof typeof EXIT]
