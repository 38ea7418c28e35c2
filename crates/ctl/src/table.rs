//! Formatting of JSON as plain text for human readers.

use serde_json::Value;

/// Renders a value as text. Objects become indented `name: value` lines without the null fields, and arrays of
/// flat objects become tables with the columns of their first row.
pub fn render(value: &Value) -> String {
    let mut text = String::new();
    write_value(&mut text, value, 0);
    text
}

fn write_value(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields.iter().filter(|(_, field)| !field.is_null()) {
                write_field(text, name, field, depth);
            }
        }
        Value::Array(rows) if rows.iter().all(is_flat_object) => write_table(text, rows, depth),
        Value::Array(rows) => {
            for row in rows {
                write_value(text, row, depth);
                text.push('\n');
            }
        }
        other => push_line(text, depth, &format_scalar(other)),
    }
}

fn write_field(text: &mut String, name: &str, field: &Value, depth: usize) {
    let nested = match field {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(rows) => !rows.is_empty(),
        _ => false,
    };
    if nested {
        push_line(text, depth, &format!("{name}:"));
        write_value(text, field, depth + 1);
    } else {
        push_line(text, depth, &format!("{name}: {}", format_scalar(field)));
    }
}

fn write_table(text: &mut String, rows: &[Value], depth: usize) {
    let Some(Value::Object(first)) = rows.first() else {
        return;
    };
    let columns: Vec<&String> = first.keys().collect();
    let cells =
        |row: &Value| columns.iter().map(|name| format_scalar(&row[name.as_str()])).collect();
    let mut table: Vec<Vec<String>> = vec![columns.iter().map(|name| (*name).clone()).collect()];
    table.extend(rows.iter().map(cells));
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| table.iter().map(|row| row[column].chars().count()).max().unwrap_or(0))
        .collect();
    for row in &table {
        let padded: Vec<_> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        push_line(text, depth, padded.join("  ").trim_end());
    }
}

fn is_flat_object(value: &Value) -> bool {
    let is_scalar = |field: &Value| !field.is_object() && !field.is_array();
    value.as_object().is_some_and(|fields| fields.values().all(is_scalar))
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn push_line(text: &mut String, depth: usize, content: &str) {
    text.push_str(&"  ".repeat(depth));
    text.push_str(content);
    text.push('\n');
}
