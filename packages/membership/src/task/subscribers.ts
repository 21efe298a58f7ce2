/** Set of listeners that are notified of changes. */
export interface Subscribers {
    /** Adds a listener; returns a function that removes it. */
    readonly add: (listener: () => void) => () => void;
    readonly notify: () => void;
}
