/** Time since it was known that no newer list exists. */
export interface ConfirmationAge {
    /** Infinity if the list was never confirmed, or a newer one is known to exist. */
    readonly ageMs: () => number;
    /** Records that the list was the newest one the given time ago. */
    readonly confirm: (agoMs: number) => void;
    /** Records that a newer list exists. */
    readonly revoke: () => void;
}
