/** The digest that identifies a document's text. Line endings and trailing blanks do not count. */
import {createHash} from "node:crypto"

function normalize(content: string): string {
  return content
    .split(/\r?\n/)
    .map(line => line.trimEnd())
    .join("\n")
    .trim()
}

/** SHA-256 of the normalized text, in hexadecimal. */
export function documentDigest(content: string): string {
  return createHash("sha256").update(normalize(content)).digest("hex")
}
