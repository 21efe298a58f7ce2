/** KV cache that was exported from a stream, or imported from another engine, with its handle at the engine. */
export interface ExportedCache {
    readonly handle: string;
    readonly tokens: number;
    readonly sizeBytes: number;
}
