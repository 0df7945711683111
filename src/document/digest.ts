/** Digest that identifies the text of a document, regardless of line endings and of white space at its ends and at line ends. */
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
