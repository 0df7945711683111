/** Time constants of request slot loans. */
import type {Milliseconds} from "../core/clock.js"

/** Time for which a borrower may start requests on a lent slot without renewing the loan. */
export const LOAN_TERM_MS: Milliseconds = 1500

/** Interval at which a borrower renews its loans. */
export const LOAN_RENEWAL_MS: Milliseconds = 500

/** A borrower starts no more requests when a loan has less than this left. */
export const LOAN_MARGIN_MS: Milliseconds = 100
