/** Reverses `encodeHeaderText`; text that was not written by it is returned as it is. */
export const decodeHeaderText = (text: string): string => {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return text;
    }
};
