import type { SizeDispersion } from "./sizeDispersion";

/** Weight of the latest request, from which on the statistics forget earlier ones. */
const MINIMUM_WEIGHT = 0.01;

/** Creates statistics without requests. */
export const createSizeDispersion = (): SizeDispersion => {
    let count = 0;
    let mean = 0;
    let meanSquare = 0;
    return {
        add: units => {
            const weight = Math.max(MINIMUM_WEIGHT, 1 / ++count);
            mean += (units - mean) * weight;
            meanSquare += (units * units - meanSquare) * weight;
        },
        units: () => mean === 0 ? 0 : meanSquare / mean,
    };
};
