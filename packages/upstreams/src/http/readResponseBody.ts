import type { IncomingMessage } from "node:http";

/** Reads the body of a response; returns undefined if it is truncated or exceeds `maximumBytes`. */
export const readResponseBody = async (
    response: IncomingMessage,
    maximumBytes: number,
): Promise<Buffer | undefined> => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of response) {
            chunks.push(chunk as Buffer);
            sizeBytes += (chunk as Buffer).length;
            if (sizeBytes > maximumBytes) {
                response.destroy();
                return undefined;
            }
        }
        return Buffer.concat(chunks);
    }
    catch {
        return undefined;
    }
};
