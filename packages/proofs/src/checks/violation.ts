/** A promise that a history breaks. */
export interface Violation {
    readonly check: string;
    readonly subject: string;
    readonly detail: string;
}
