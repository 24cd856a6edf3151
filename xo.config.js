/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['target/**', 'reports/**'],
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Packages import one another only through their public index.
			'no-restricted-imports': ['error', {patterns: [{regex: String.raw`^(\.\./)+[a-z-]+/src/`, message: 'Import a sibling package as #name.'}]}],
			// Names as custom has them: req, res, cfg, err, id.
			'unicorn/prevent-abbreviations': 'off',
			// Error classes come from ModernError.subclass, which returns a class as a value.
			'@typescript-eslint/naming-convention': ['error',
				{
					selector: 'variable', modifiers: ['const'], format: ['camelCase', 'UPPER_CASE', 'PascalCase'], leadingUnderscore: 'allow',
				},
				{selector: 'function', format: ['camelCase']},
				{selector: 'typeLike', format: ['PascalCase']},
				{selector: 'class', format: ['PascalCase']}],
			// ModernError types its instances as an intersection that this rule does not recognise as an Error.
			'@typescript-eslint/only-throw-error': 'off',
			'@typescript-eslint/prefer-promise-reject-errors': 'off',
			// Payload types are erased in registries of commands and messages; the cast back stands next to the check.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Attempts, messages and control loops are sequential on purpose.
			'no-await-in-loop': 'off',
			// The condition is a property that another task changes.
			'no-unmodified-loop-condition': 'off',
			// The compile target has no v flag.
			'require-unicode-regexp': 'off',
		},
	},
];

export default config;
