/** Charts and tables for reports. */
export {createAxis, formatTick, type Axis} from './axis.js';
export {
	renderChart, type BarChart, type Chart, type LineChart,
} from './chart.js';
export {renderMarkdownTable, renderTextTable, type Table} from './table.js';
