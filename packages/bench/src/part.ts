/** A part of the benchmark and what it yields. */
import type {Chart, Table} from '#reports';

/** What a part measured. */
export type BenchResult = {
	readonly title: string;
	/** Conditions and conclusions, one sentence each. */
	readonly notes: readonly string[];
	readonly tables: readonly Table[];
	/** Charts by the name of their file, without extension. */
	readonly charts: Readonly<Record<string, Chart>>;
	/** Figures behind tables and charts, for other programs. */
	readonly raw: unknown;
};

export type BenchContext = {
	/** Line below charts: machine and date. */
	readonly note: string;
	/** Shows progress. */
	readonly log: (line: string) => void;
};

export type BenchPart = {
	/** Name on the command line. */
	readonly name: string;
	readonly description: string;
	readonly run: (context: BenchContext) => Promise<BenchResult>;
};
