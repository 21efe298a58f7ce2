import type { DocumentPosition } from "./documentPosition";

/** Whether a position is after another one, or the other one is unknown. */
export const isNewerPosition = (position: DocumentPosition, known: DocumentPosition | undefined): boolean =>
    known === undefined || position.epoch > known.epoch
    || position.epoch === known.epoch && position.revision > known.revision;
