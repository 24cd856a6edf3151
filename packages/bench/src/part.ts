/** Types of the benchmark's parts and their results. */
import type {Chart, Table} from '#reports';

/** Result of a part. */
export type BenchResult = {
	readonly title: string;
	/** Conditions and conclusions, one sentence each. */
	readonly notes: readonly string[];
	readonly tables: readonly Table[];
	/** Charts by file name without extension. */
	readonly charts: Readonly<Record<string, Chart>>;
	/** Data of the tables and charts, for other programs. */
	readonly raw: unknown;
};

export type BenchContext = {
	/** Caption below charts: machine and date. */
	readonly note: string;
	/** Reports progress. */
	readonly log: (line: string) => void;
};

export type BenchPart = {
	/** Name on the command line. */
	readonly name: string;
	readonly description: string;
	readonly run: (context: BenchContext) => Promise<BenchResult>;
};
