// Formats the files that dprint.json includes; --check names the files that are not formatted and changes none.
// dprint's WebAssembly runtime is used instead of its native program, whose builds need a recent C library.
import { createContext } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readFileSync, writeFileSync } from "node:fs";
import { globSync } from "tinyglobby";

const { includes, excludes, typescript, ...global } = JSON.parse(readFileSync("dprint.json", "utf8"));

const context = createContext(global);
const plugin = context.addPlugin(readFileSync(getPath()), typescript);
const diagnostics = plugin.getConfigDiagnostics();
if (diagnostics.length > 0) {
    diagnostics.forEach(({ propertyName, message }) =>
        process.stderr.write(`dprint.json: ${propertyName}: ${message}\n`)
    );
    process.exit(1);
}

const format = filePath => {
    const fileText = readFileSync(filePath, "utf8");
    try {
        const formatted = context.formatText({ filePath, fileText });
        return { filePath, formatted, isFormatted: formatted === fileText };
    }
    catch (error) {
        return { filePath, error, isFormatted: false };
    }
};

const files = globSync(includes, { ignore: excludes }).sort();
const unformatted = files.map(format).filter(({ isFormatted }) => !isFormatted);
const failed = unformatted.filter(({ error }) => error !== undefined);
const isCheck = process.argv.includes("--check");

failed.forEach(({ filePath, error }) => process.stderr.write(`${filePath}: ${error.message ?? error}\n`));
if (isCheck) {
    unformatted.filter(file => !failed.includes(file)).forEach(({ filePath }) =>
        process.stderr.write(`${filePath}: not formatted\n`)
    );
}
else {
    unformatted.filter(file => !failed.includes(file)).forEach(({ filePath, formatted }) =>
        writeFileSync(filePath, formatted)
    );
}
const count = isCheck ? unformatted.length : failed.length;
process.stdout.write(`${files.length} files checked, ${count} ${isCheck ? "not formatted" : "failed"}\n`);
process.exit(count === 0 ? 0 : 1);
