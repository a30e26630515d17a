/** @type {import('xo').FlatXoConfig} */
const xoConfig = [
	{
		ignores: ['**/dist/**', '**/generated/**', 'node_modules/**'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Type imports stand apart from value imports, so one module may be imported twice.
			'import-x/no-duplicates': 'off',
			'import-x/consistent-type-specifier-style': ['error', 'prefer-top-level'],
			'@typescript-eslint/consistent-type-imports': ['error', {fixStyle: 'separate-type-imports'}],
			// Results of neverthrow and callbacks of platform interfaces are compared against undefined, never null.
			'unicorn/no-null': 'off',
		},
	},
	{
		files: ['**/test/**/*.ts'],
		rules: {
			// AVA runs the compiled tests under dist, while the linter sees the sources.
			'ava/no-ignored-test-files': 'off',
		},
	},
];

export default xoConfig;
