/** Exponentially weighted rate of events. */
export interface RateMeter {
    readonly add: (nowMs: number) => void;
    readonly perSecond: (nowMs: number) => number;
}
