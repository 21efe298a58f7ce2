/** A failed check: its name, the request, process or resource concerned, and what was observed. */
export interface Violation {
    readonly check: string;
    readonly subject: string;
    readonly detail: string;
}
