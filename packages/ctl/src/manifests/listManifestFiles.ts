import { readdirSync, statSync } from "node:fs";
import { join } from "node:path";

/** Returns the file itself, or the `.toml` files of a directory and its subdirectories, sorted by path. */
export const listManifestFiles = (path: string): readonly string[] =>
    statSync(path).isDirectory()
        ? readdirSync(path, { recursive: true, encoding: "utf8" })
            .filter(name => name.endsWith(".toml"))
            .sort()
            .map(name => join(path, name))
        : [path];
