const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of a text, with a final mixing step for use as a ring position. */
export const fingerprint = (text: string): number => {
    const hash = [...text].reduce(
        (value, character) => Math.imul(value ^ character.charCodeAt(0), PRIME),
        OFFSET_BASIS,
    );
    const mixed = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
    return (mixed ^ (mixed >>> 16)) >>> 0;
};
