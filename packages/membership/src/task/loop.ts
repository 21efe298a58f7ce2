/** Handle of a running loop. */
export interface Loop {
    readonly stop: () => void;
}
