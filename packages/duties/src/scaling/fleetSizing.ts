/**
 * Engines beyond the busy ones, for each square root of their number. Work that arrives at random varies by the square
 * root of its size, so a large fleet needs a smaller part of spare engines than a small one. Ten engines for three busy
 * ones keep prompts from waiting at the peaks of the small deployments.
 */
const PEAK_SPARE_FACTOR = 3.6;

/** The same for the time in which reclaimable engines are refused and on-demand ones stand in: six for two and a half. */
const SHORTAGE_SPARE_FACTOR = 2.2;

const enginesFor = (busy: number, spareFactor: number): number => Math.ceil(busy + spareFactor * Math.sqrt(busy));

/**
 * How many engines a load needs.
 *
 * Answers deployments of different sizes: a constant share of busy engines is either too many for a hundred of them or
 * too few for six.
 */
export const fleetSizing = {
    /** Engines at which prompts hardly wait when so many are busy. */
    enginesAtPeak: (busy: number): number => enginesFor(busy, PEAK_SPARE_FACTOR),
    /** Engines with which prompts wait little. */
    enginesDuringShortage: (busy: number): number => enginesFor(busy, SHORTAGE_SPARE_FACTOR),
    /** Busy engines for which a fleet of this size is right: the inverse of `enginesAtPeak`. */
    busyAtPeak: (engines: number): number =>
        ((Math.sqrt(PEAK_SPARE_FACTOR ** 2 + 4 * engines) - PEAK_SPARE_FACTOR) / 2) ** 2,
};
