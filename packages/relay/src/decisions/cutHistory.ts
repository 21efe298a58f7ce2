/** Recent times at which a host reached no upstream. */
export interface CutHistory {
    readonly begin: () => void;
    /** Ends the current time; `wasCutOff` is false if no other host reached an upstream either. */
    readonly end: (wasCutOff: boolean) => void;
    /**
     * Tells of evidence that was seen at a monotonic time whether the host was cut off then or noticed within a second that it
     * was; `open` if it reaches no upstream now.
     */
    readonly classify: (seenAtMs: number) => "reached" | "open" | "cut-off" | "all-down";
}
