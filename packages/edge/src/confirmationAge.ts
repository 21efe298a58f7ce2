/** Time since it was known that no newer list exists. */
export interface ConfirmationAge {
    /** Time since the list was known to be the newest one: it has all changes before that. Infinity if it never was. */
    readonly ageMs: () => number;
    /** The same, but Infinity if a newer list is known to exist. */
    readonly newestAgeMs: () => number;
    /** Records that the list was the newest one the given time ago. */
    readonly confirm: (agoMs: number) => void;
    /** Records that a newer list exists. */
    readonly supersede: () => void;
}
