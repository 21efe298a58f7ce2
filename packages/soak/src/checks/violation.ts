/** A promise that was broken. */
export interface Violation {
    readonly check: string;
    readonly subject: string;
    readonly detail: string;
}
