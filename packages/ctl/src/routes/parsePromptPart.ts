/** Parses a part of a prompt, `ID:TOKENS`; undefined if the text is no such part. */
export const parsePromptPart = (text: string): { readonly partId: string; readonly tokens: number; } | undefined => {
    const [, partId, tokens] = /^([^:]+):(\d+)$/.exec(text) ?? [];
    return partId === undefined ? undefined : { partId, tokens: Number(tokens) };
};
