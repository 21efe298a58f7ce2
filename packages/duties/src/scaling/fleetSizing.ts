/**
 * Spare engines per square root of the number of busy ones (square-root staffing). Random arrivals vary by the square
 * root of their number, so a large fleet needs a smaller fraction of spare engines than a small one. Ten engines for
 * three busy ones keep prompts from queueing at the peaks of small deployments.
 */
const PEAK_SPARE_FACTOR = 3.6;

/** Factor while reclaimable engines are refused and on-demand ones replace them: six engines for 2.5 busy ones. */
const SHORTAGE_SPARE_FACTOR = 2.2;

const enginesFor = (busy: number, spareFactor: number): number => Math.ceil(busy + spareFactor * Math.sqrt(busy));

/**
 * Number of engines that a load needs.
 *
 * It is not proportional to the load because deployments differ in size: a constant ratio of spare engines is either
 * too high for a hundred engines or too low for six.
 */
export const fleetSizing = {
    /** Engines with which prompts hardly queue while `busy` engines are busy. */
    enginesAtPeak: (busy: number): number => enginesFor(busy, PEAK_SPARE_FACTOR),
    /** Engines with which prompts queue briefly; used while reclaimable engines are refused. */
    enginesDuringShortage: (busy: number): number => enginesFor(busy, SHORTAGE_SPARE_FACTOR),
    /** Busy engines for which a fleet of this size is sufficient: the inverse of `enginesAtPeak`. */
    busyAtPeak: (engines: number): number =>
        ((Math.sqrt(PEAK_SPARE_FACTOR ** 2 + 4 * engines) - PEAK_SPARE_FACTOR) / 2) ** 2,
};
