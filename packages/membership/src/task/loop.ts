/** A running loop. */
export interface Loop {
    readonly stop: () => void;
}
