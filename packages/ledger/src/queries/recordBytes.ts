import type { ActionRecord } from "../model/actionRecord";

const sizes = new WeakMap<ActionRecord, number>();

/** Returns the size of a record as JSON in bytes, cached for each record object. */
export const recordBytes = (record: ActionRecord): number => {
    const known = sizes.get(record);
    if (known !== undefined) {
        return known;
    }
    const sizeBytes = Buffer.byteLength(JSON.stringify(record));
    sizes.set(record, sizeBytes);
    return sizeBytes;
};
