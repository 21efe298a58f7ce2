/** Units consumed within a sliding window. */
export interface UsageWindow {
    readonly add: (units: number) => void;
    readonly sum: () => number;
}
