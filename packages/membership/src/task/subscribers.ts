/** Listeners of a change. */
export interface Subscribers {
    /** Adds a listener; returns a function that removes it. */
    readonly add: (listener: () => void) => () => void;
    readonly notify: () => void;
}
