/** Parses JSON; returns `undefined` when the text is not valid JSON. */
export const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
