/** The part of an upstream's slots that hosts use, after rejections. */
export interface UsableShare {
    /** Between 0 and 1. */
    readonly share: () => number;
    /** Records a rejection at a shared time; `rejectionsPerS` is the number above which the upstream crashes. */
    readonly observeRejection: (atMs: number, rejectionsPerS: number) => void;
    /** Shared time of the newest known rejection; 0 if there is none. */
    readonly rejectedAtMs: () => number;
}
