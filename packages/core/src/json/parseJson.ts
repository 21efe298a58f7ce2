/** Parses a JSON text; undefined when it is none. */
export const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
