// Runs every spec with swc; workspace imports resolve to sources.
module.exports = {
    testEnvironment: "node",
    roots: ["<rootDir>/packages", "<rootDir>/platform"],
    testMatch: ["**/__tests__/**/*.spec.ts"],
    // Run by jest.crowds.config.cjs, apart from other load.
    testPathIgnorePatterns: ["/node_modules/", "\\.crowd\\.spec\\.ts$"],
    moduleNameMapper: { "^@ibislanding/([^/]+)$": "<rootDir>/packages/$1/src" },
    transform: {
        "^.+\\.ts$": ["@swc/jest", {
            jsc: {
                parser: { syntax: "typescript", explicitResourceManagement: true },
                target: "es2022",
            },
            module: { type: "commonjs" },
        }],
    },
    testTimeout: 60000,
};
