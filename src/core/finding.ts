/** Findings about a text that an operator wrote, collected with their place and reported together. */

export interface Finding {
  readonly file: string
  readonly section: string
  readonly key: string
  /** Line in the file, counted from 1; 0 when the finding is about something absent. */
  readonly line: number
  /** What is wrong. */
  readonly problem: string
  /** What would be right. */
  readonly remedy: string
}

/** One line for a person: `file:line: [section] key: problem. remedy`. */
export function formatFinding(finding: Finding): string {
  const place = finding.line > 0 ? `${finding.file}:${finding.line}` : finding.file
  const key = finding.key === "" ? `[${finding.section}]` : `[${finding.section}] ${finding.key}`
  return `${place}: ${key}: ${finding.problem} ${finding.remedy}`
}
