interface Chunk {
    readonly choices?: readonly {
        readonly delta?: { readonly content?: string; };
        readonly finish_reason?: string | null;
    }[];
}

/** Returns the text of a streamed chat answer and whether it is complete, that is, ends with `[DONE]`. */
export const readStreamedText = (body: string): { readonly text: string; readonly isComplete: boolean; } => {
    const data = body.split("\n").filter(line => line.startsWith("data: ")).map(line => line.slice("data: ".length));
    const chunks = data.filter(line => line !== "[DONE]").map(line => JSON.parse(line) as Chunk);
    return {
        text: chunks.map(chunk => chunk.choices?.[0]?.delta?.content ?? "").join(""),
        isComplete: data.at(-1) === "[DONE]",
    };
};
