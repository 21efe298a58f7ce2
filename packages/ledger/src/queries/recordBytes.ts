import type { ActionRecord } from "../model/actionRecord";

const sizes = new WeakMap<ActionRecord, number>();

/** Returns the size of a record in a value; the size of each record object is computed once. */
export const recordBytes = (record: ActionRecord): number => {
    const known = sizes.get(record);
    if (known !== undefined) {
        return known;
    }
    const sizeBytes = Buffer.byteLength(JSON.stringify(record));
    sizes.set(record, sizeBytes);
    return sizeBytes;
};
