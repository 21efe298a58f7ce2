/** Measures an exponentially weighted rate. */
export interface RateMeter {
    readonly add: (amount: number, nowMs: number) => void;
    readonly ratePerMs: (nowMs: number) => number;
}
