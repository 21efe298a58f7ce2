import type { IncomingMessage } from "node:http";

/** Reads the whole body of an answer as UTF-8 text; rejects when the connection ends before. */
export const readText = async (response: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of response) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
};
