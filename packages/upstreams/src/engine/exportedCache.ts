/** KV cache exported from one stream, which another engine can import by its handle. */
export interface ExportedCache {
    readonly handle: string;
    readonly tokens: number;
    readonly sizeBytes: number;
}
