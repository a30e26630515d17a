/** Formats a heading and rows; each column is padded to its widest cell. */
export const formatTable = (heading: readonly string[], rows: ReadonlyArray<ReadonlyArray<number | string>>): string => {
	const lines = [heading, ...rows].map(row => row.map(String));
	const widths = heading.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
	return lines.map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n');
};
