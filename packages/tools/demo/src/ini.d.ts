declare module 'ini' {
	export function stringify(value: Readonly<Record<string, unknown>>): string;
}
