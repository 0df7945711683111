/** Problems found in a file that an operator wrote. They are collected with their location and reported together. */

export interface Finding {
  readonly file: string
  readonly section: string
  readonly key: string
  /** Line number from 1; 0 if the finding concerns something that is missing. */
  readonly line: number
  /** States what is wrong, as a full sentence. */
  readonly problem: string
  /** States how to correct it, as a full sentence. */
  readonly remedy: string
}

/** Returns one readable line: `file:line: [section] key: problem remedy`. */
export function formatFinding(finding: Finding): string {
  const location = finding.line > 0 ? `${finding.file}:${finding.line}` : finding.file
  const key = finding.key === "" ? `[${finding.section}]` : `[${finding.section}] ${finding.key}`
  return `${location}: ${key}: ${finding.problem} ${finding.remedy}`
}
